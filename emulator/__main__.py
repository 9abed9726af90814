"""Entry point of `python -m emulator`; see `emulator.cli`."""

from emulator.cli import main

if __name__ == "__main__":
    main()
