"""Entry point of the command line: ``python -m hyssopring``."""

from hyssopring.cli.main import main

if __name__ == '__main__':
    main()
