"""Start peathall from a checkout whose dependencies are installed under target/deps."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from peathall.cli import main

if __name__ == "__main__":
    sys.exit(main())
