"""Small files that one process writes and another reads."""

from __future__ import annotations

import os
import tempfile


def replace(path: str, text: bytes) -> bool:
    """Write the file in one step, so that nobody reads half of it; false where it can't be written."""
    try:
        descriptor, fresh = tempfile.mkstemp(dir=os.path.dirname(path) or ".", prefix="lupinreach-")
        with os.fdopen(descriptor, "wb") as file:
            file.write(text)
        os.replace(fresh, path)
    except OSError:
        return False
    return True
