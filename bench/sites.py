"""Writes copies of a site that the code hasn't seen; see README.md."""

import argparse
import math
import pathlib
import re


def turns(text, factor):
    """Lets demand rise and fall faster or slower."""
    def change(found):
        return f"period_s = {float(found[1]) * factor:g}"

    return re.sub(r"period_s = ([\d.]+)", change, text)


def steady(text):
    """Lets demand neither rise nor fall."""
    return re.sub(r", shape = \{[^}]*\}", "", text)


def fleet(text, factor):
    """Gives each pool more VMs or fewer; two in each hall at least."""
    def change(found):
        count = max(2, math.ceil(int(found[2]) * factor))
        return f"{found[1]}count = {count} }}"

    lines = []
    for line in text.splitlines(keepends=True):
        if "servers = [" in line:
            line = re.sub(r"(\{ zone = \"[^\"]+\", )count = (\d+) \}",
                          change, line)
        lines.append(line)
    return "".join(lines)


COPIES = {
    "fast-turns": lambda text: turns(text, 2 / 3),
    "slow-turns": lambda text: turns(text, 14 / 9),
    "steady": steady,
    "half-fleet": lambda text: fleet(text, 0.5),
    "double-fleet": lambda text: fleet(text, 2),
}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("directory", type=pathlib.Path)
    arguments = parser.parse_args()
    text = arguments.site.read_text()
    arguments.directory.mkdir(parents=True, exist_ok=True)
    for name, change in COPIES.items():
        copy = arguments.directory / f"{arguments.site.stem}-{name}.toml"
        changed = change(text)
        if changed == text:
            print(f"{name}: the site has nothing to change")
            continue
        copy.write_text(changed)
        wire = arguments.site.with_name("wire.json")
        (arguments.directory / "wire.json").write_text(wire.read_text())


if __name__ == "__main__":
    main()
