"""Runs a node: ``python -m sycamorecroft.node``."""

from sycamorecroft.node.main import main

if __name__ == "__main__":
    main()
