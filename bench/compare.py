"""Plays days with several policies, side by side; see README.md.

One build is played with the policy of each variant added to the settings
template, each variant in a copy of the repository. The table shows what
each is worth beside the first one, and how far its days spread.
"""

import argparse
import concurrent.futures
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent

# What the bench prints of a day, and what it is called in the table.
FIGURES = {
    "worth": r"^worth (\S+) = whole day",
    "served": r"= whole day (\S+) ",
    "windows": r"worst windows (\S+) ",
    "class": r"worst class (\S+) ",
    "vm_price": r"-(\S+)\s+\S+ seconds of machines in pools",
    "move_price": r"-(\S+)\s+\S+ machines moved",
    "call_price": r"-(\S+)\s+\S+ cloud calls",
}


def copy_with(policy, directory):
    """Copies what a day needs, with a policy in the settings template."""
    shutil.rmtree(directory, ignore_errors=True)
    for name in ("deploy", "crates", "platform"):
        shutil.copytree(ROOT / name, directory / name)
    for name in ("Cargo.toml", "Cargo.lock"):
        shutil.copy(ROOT / name, directory / name)
    binary = pathlib.Path("target/release/dewspard")
    (directory / binary).parent.mkdir(parents=True)
    shutil.copy(ROOT / binary, directory / binary)
    deploy = directory / "deploy/system.toml"
    built = re.sub(r"(?m)^build = .*$", 'build = "true"', deploy.read_text())
    deploy.write_text(built)
    if policy:
        template = directory / "deploy/entry.yaml"
        lines = "\n".join(f"  {line}" for line in policy.splitlines())
        template.write_text(f"{template.read_text()}policy:\n{lines}\n")


def play(bench, directory, site, day, seed, why, extra):
    """Plays one day; returns its figures, or why there are none."""
    call = [bench, "run", site, day, "--jobs", "1", "--why", why, *extra]
    if seed is not None:
        call += ["--seed", str(seed)]
    done = subprocess.run(
        call, cwd=directory, capture_output=True, text=True, check=False
    )
    text = done.stdout + done.stderr
    figures = {}
    for name, pattern in FIGURES.items():
        found = re.search(pattern, text, re.MULTILINE)
        if found:
            figures[name] = abs(float(found[1]))
    return figures if "worth" in figures else {"error": text[-300:]}


def days_of(site):
    """Returns the names of a site's standard days."""
    with open(site, "rb") as file:
        return [day["name"] for day in tomllib.load(file)["day"]]


def row(name, results, base):
    """Returns a line of the table, and the mean worth."""
    played = [figures for figures in results if "worth" in figures]
    if not played:
        line = f"| {name} | none of {len(results)} days could be played |"
        return line, base
    mean = {
        key: statistics.mean(figures.get(key, 0.0) for figures in played)
        for key in FIGURES
    }
    spread = statistics.pstdev(figures["worth"] for figures in played)
    difference = mean["worth"] - base if base is not None else 0.0
    cells = [
        name,
        str(len(played)),
        f"{mean['worth']:.3f}",
        f"{difference:+.3f}",
        f"{spread:.3f}",
        *(f"{mean[key]:.3f}" for key in list(FIGURES)[1:]),
    ]
    return "| " + " | ".join(cells) + " |", mean["worth"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--variants", required=True, type=pathlib.Path,
                        help="JSON: name -> policy in YAML, the base first")
    parser.add_argument("--work", required=True, type=pathlib.Path,
                        help="a directory for the copies and their journals")
    parser.add_argument("--seeds", default="21,22")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", required=True)
    parser.add_argument("--with-cpu", action="store_true",
                        help="count processor time; days then repeat less")
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    arguments = parser.parse_args()
    variants = json.loads(arguments.variants.read_text())
    seeds = [int(seed) for seed in arguments.seeds.split(",")]
    extra = [] if arguments.with_cpu else ["--no-cpu"]
    plays = []
    for number, (name, policy) in enumerate(variants.items()):
        directory = arguments.work / f"variant-{number}"
        copy_with(policy, directory)
        plays += [
            (name, directory, str(site.resolve()), day, seed)
            for site in arguments.sites
            for day in days_of(site)
            for seed in seeds
        ]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        results = list(pool.map(
            lambda p: play(arguments.bench, *p[1:], f"{arguments.why}: {p[0]}",
                           extra),
            plays,
        ))
    head = ["variant", "days", "worth", "difference", "spread",
            *list(FIGURES)[1:]]
    for site in arguments.sites:
        print(f"\n{site.stem}\n\n| " + " | ".join(head) + " |")
        print("|" + "---|" * len(head))
        base = None
        for name in variants:
            of_it = [
                figures
                for play_, figures in zip(plays, results, strict=True)
                if play_[0] == name and play_[2] == str(site.resolve())
            ]
            line, worth = row(name, of_it, base)
            base = worth if base is None else base
            print(line)


if __name__ == "__main__":
    main()
