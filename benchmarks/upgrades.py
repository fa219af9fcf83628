"""Lost, turned-back and doubled API calls over a number of upgrades under steady clients, on loopback.

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
    with tempfile.TemporaryDirectory() as folder:
        async with platform(Path(folder)) as site:
            process = await site.start()
            for _ in range(upgrades):
                process = await site.upgrade(process)
            seen = site.seen
            print(
                f"{upgrades} upgrades: {sum(seen.answers.values())} answered {dict(seen.answers)}, {seen.lost} lost, "
                f"{seen.turned_back} turned back unheard, runs of one payment or look at most {max(seen.runs.values())}"
            )


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 20))
