"""Lost, retried and duplicated calls over a number of process upgrades, with clients that send continuously.

Prints answers by status, requests without an answer, and the most runs of one request id.

    python benchmarks/upgrades.py [UPGRADES]
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from upgrading import platform


async def main(upgrades: int) -> None:
    """Upgrades the process repeatedly and prints what clients and backends counted."""
    with tempfile.TemporaryDirectory() as folder:
        async with platform(Path(folder)) as site:
            process = await site.start()
            for _ in range(upgrades):
                process = await site.upgrade(process)
            seen = site.seen
            print(
                f"{upgrades} upgrades: {sum(seen.answers.values())} answered "
                f"{dict(seen.answers)}, {seen.lost} lost, "
                f"{seen.turned_back} resent after a closed connection, "
                f"at most {max(seen.runs.values())} runs of one request id"
            )


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 20))
