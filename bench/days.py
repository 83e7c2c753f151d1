"""Writes days for the partners' bench; see README.md beside this file."""

import argparse
import pathlib
import random

# Kind of trouble -> its variants: (how, settings of the entry).
KINDS = {
    "burst": [("", {"for_s": 5, "x": 3})],
    "give_up": [("", {"share": 0.4, "for_s": 8})],
    "srv_crash": [
        ("dark", {}), ("gone", {}), ("domain dark", {}), ("rack dark", {}),
        ("joined", {}), ("all dark", {"share": 0.5, "for_s": 3}),
        ("across", {}),
    ],
    "srv_slow": [("", {"x": 4, "for_s": 10, "share": 0.3})],
    "srv_grey": [
        (how, {"for_s": 10, "share": 0.2})
        for how in ("errors", "shed", "busy", "hang", "reset", "mute", "slow")
    ],
    "replace_with_reuse": [
        (how, {"share": 0.2}) for how in ("", "drain", "dark")
    ],
    "scale_in": [
        (how, {"share": 0.15, "for_s": 8})
        for how in ("", "spot", "reclaim", "reclaim dry")
    ],
    "answer_lost": [("", {"x": 0.3, "for_s": 10})],
    "node_kill": [
        ("", {"share": 0.5}), ("leader", {"count": 1}),
        ("leader power", {"count": 1, "for_s": 4}), ("giver", {"count": 1}),
        ("reader", {"count": 1}), ("leader hard", {"count": 1}),
    ],
    "node_freeze": [
        ("", {"share": 0.3, "for_s": 5}), ("leader", {"count": 1, "for_s": 4}),
        ("leader", {"count": 1, "for_s": 2}),
    ],
    "roll_term": [
        ("", {"gap_s": 1.5}), ("busy", {"gap_s": 1}),
        ("remove", {"share": 0.5, "gap_s": 2}), ("meet", {"gap_s": 2}),
    ],
    "herd_kill": [
        ("", {"share": 1.0}), ("power", {"share": 1.0, "for_s": 3}),
        ("taken all", {}), ("on", {}),
    ],
    "replace_core": [
        (how, {}) for how in ("", "leader", "planned", "leader meet")
    ],
    "after_ack_kill": [
        ("", {}), ("kill", {}), ("timed", {}), ("taken", {"for_s": 3}),
        ("taken gone", {}),
    ],
    "hup": [("", {"share": 1.0, "gap_s": 0.2})],
    "reset_conns": [
        ("", {"share": 1.0, "x": 0.9}), ("silent", {"share": 1.0, "x": 0.9}),
        ("silent", {"share": 0.5, "x": 0.5}),
    ],
    "release": [
        ("", {"share": 0.5, "gap_s": 1}), ("", {"share": 0.8, "gap_s": 0.5}),
    ],
    "core_cut": [
        ("", {"count": 2, "for_s": 6}), ("leader", {"count": 1, "for_s": 6}),
        ("leader one_way", {"count": 1, "for_s": 6}),
        ("leader meet", {"count": 1, "for_s": 4}),
        ("leader reset", {"count": 1, "for_s": 5}),
        ("leader refuse", {"count": 1, "for_s": 5}), ("split", {"for_s": 5}),
        ("leader all", {"count": 1, "for_s": 5}),
        ("relieve leader", {"count": 1, "for_s": 5}),
    ],
    "node_cut": [
        ("", {"share": 0.3, "for_s": 6}), ("leader", {"count": 1, "for_s": 6}),
        ("all leader", {"count": 1, "for_s": 6}),
        ("servers", {"share": 0.2, "for_s": 6}),
        ("servers", {"share": 0.3, "for_s": 12}),
        ("servers leader", {"share": 0.3, "for_s": 9}),
    ],
    "platform_down": [
        (how, {"for_s": 4})
        for how in ("silent", "busy", "reset", "silent lapse", "busy lapse")
    ] + [
        ("nodes " + how, {"share": 0.5, "for_s": 6})
        for how in (
            "busy", "many", "reset", "silent", "busy revoke", "silent revoke",
        )
    ] + [
        ("nodes leader " + how, {"count": 1, "for_s": 6})
        for how in (
            "busy", "many", "reset", "silent", "busy revoke", "silent revoke",
            "silent revoke meet",
        )
    ],
    "platform_slow": [
        ("", {"x": 50, "for_s": 6}), ("", {"x": 150, "for_s": 5}),
    ],
    "platform_lost": [
        ("", {"x": 0.4, "for_s": 8}), ("late", {"x": 0.4, "for_s": 8}),
    ],
    "platform_compact": [
        ("", {"for_s": 8, "x": 4}), ("drain", {"for_s": 8}),
    ],
    "config_change": [
        (how, {}) for how in ("route", "timeout", "idle", "topup")
    ],
    "config_storm": [("", {"for_s": 5, "gap_s": 0.2})],
    "wave": [
        ("", {"share": 0.6, "for_s": 25, "count": 8}),
        ("rack", {"share": 0.6, "for_s": 25}),
    ],
    "poison": [("", {"share": 0.3, "for_s": 8})],
    "applied_late": [
        (how, {"x": 0.5, "for_s": 10})
        for how in ("", "orders", "grants", "all", "cloud")
    ],
    "srv_cut": [
        (how, {"for_s": 6})
        for how in ("", "fronts", "some", "one_way", "some lossy")
    ],
    "node_slow": [
        ("", {"share": 0.4, "x": 5, "for_s": 8}),
        ("leader", {"count": 1, "x": 5, "for_s": 8}),
    ],
    "clock_step": [
        ("", {"share": 1.0, "x": 2000, "for_s": 6}),
        ("back", {"share": 0.5, "x": 2000, "for_s": 6}),
        ("ahead", {"share": 0.5, "x": 3000, "for_s": 6}),
    ],
    "cloud_down": [
        (how, {"for_s": 8}) for how in ("silent", "busy", "reset")
    ],
    "cloud_slow": [("", {"x": 80, "for_s": 8})],
    "shift": [("", {"share": 0.6, "for_s": 8})],
    "hot_key": [("", {"share": 0.6, "for_s": 8})],
    "srv_lying_health": [
        (how, {"share": 0.2, "for_s": 10})
        for how in ("errors", "hang", "reset", "bad")
    ],
    "srv_flap": [
        ("", {"share": 0.2, "gap_s": 1.2, "for_s": 8}),
        ("", {"share": 0.2, "gap_s": 3, "for_s": 10}),
    ],
    "scale_out": [("", {"share": 0.3, "gap_s": 1})],
    "add_nodes": [("", {"share": 1.0})],
    "big_config": [("", {"count": 1200})],
}

# What counts as planned work rather than a fault.
PLANNED = {
    "roll_term", "hup", "config_change", "config_storm", "wave", "scale_in",
    "scale_out", "add_nodes", "big_config",
}

# When a kind that is played alone strikes, in seconds of traffic.
STRIKES_S = (6.0, 19.0)

# The wave beside everything else, unless the day has one of its own.
WAVE = ("wave", "", {"share": 0.4, "for_s": 26}, 2.0)

VARIANTS = [
    (kind, how, settings)
    for kind, variants in KINDS.items()
    for how, settings in variants
]


def entry(kind, how, settings, at):
    """Returns one entry of a day, as an inline table."""
    fields = {"at": at, "kind": kind, **settings}
    if how:
        fields["how"] = how
    written = (
        f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}"
        for key, value in fields.items()
    )
    return "{ " + ", ".join(written) + " }"


def day(name, seed, entries):
    """Returns a day; its marks are those of no real one."""
    if not any(kind == "wave" for kind, *_ in entries):
        entries = [*entries, WAVE]
    plan = ", ".join(entry(*e) for e in entries if e[0] in PLANNED)
    faults = ", ".join(entry(*e) for e in entries if e[0] not in PLANNED)
    return (
        f'[[day]]\nname = "{name}"\nslot = "trouble"\nseed = {seed}\n'
        f"one = 1.0\nzero = 0.0\nlabels = []\n"
        f"plan = [{plan}]\nfaults = [{faults}]\n"
    )


def single_days():
    """Yields each variant alone, twice a day."""
    for number, (kind, how, settings) in enumerate(VARIANTS):
        name = f"{kind}-{how or 'plain'}-{number}".replace(" ", "-")
        entries = [(kind, how, settings, at) for at in STRIKES_S]
        yield name, day(name, 1000 + number, entries)


def silent_days(seed):
    """Yields each kind beside one to three cuts that silence connections."""
    chance = random.Random(seed)
    for number, (kind, variants) in enumerate(KINDS.items()):
        how, settings = chance.choice(variants)
        entries = [(kind, how, settings, round(chance.uniform(3, 22), 2))]
        for _ in range(chance.choice([1, 2, 3])):
            share = chance.choice([0.5, 1.0])
            cut = ("reset_conns", "silent", {"share": share, "x": 0.9})
            entries.append((*cut, round(chance.uniform(2, 26), 2)))
        name = f"silent-{kind}-{number}"
        yield name, day(name, chance.randrange(10**9), entries)


def mixed_days(count, seed):
    """Yields days with two to four variants at random moments."""
    chance = random.Random(seed)
    for number in range(count):
        entries = []
        for _ in range(chance.choice([2, 3, 4])):
            variant = chance.choice(VARIANTS)
            entries.append((*variant, round(chance.uniform(1, 26), 2)))
        kinds = "+".join(kind for kind, *_ in entries)
        name = f"p{number:03d}-{kinds}"
        yield name, day(name, chance.randrange(10**9), entries)


# How the holder of the scheduler lease goes, and what beside it.
TAKEOVERS = [
    [("node_kill", "leader", {"count": 1, "for_s": 1}, 0.0)],
    [("node_kill", "leader power", {"count": 1, "for_s": 4}, 0.0)],
    [
        ("node_kill", "leader", {"count": 1, "for_s": 1}, 0.0),
        ("herd_kill", "", {"share": 0.7, "for_s": 2}, 0.05),
    ],
    [
        ("node_kill", "leader", {"count": 1, "for_s": 1}, 0.0),
        ("node_kill", "leader", {"count": 1, "for_s": 1}, 2.2),
        ("node_kill", "leader", {"count": 1, "for_s": 1}, 4.4),
    ],
    [
        ("node_kill", "leader", {"count": 1, "for_s": 1}, 0.0),
        ("srv_grey", "shed", {"share": 0.3, "for_s": 8}, -2.0),
    ],
    [
        ("node_kill", "leader", {"count": 1, "for_s": 1}, 0.0),
        ("burst", "", {"x": 3, "for_s": 5}, -3.0),
    ],
]


def takeover_days(count, seed):
    """Yields days on which the holder is killed on purpose, late enough for
    a backlog, beside something that makes it matter."""
    chance = random.Random(seed)
    for number in range(count):
        troubles = TAKEOVERS[number % len(TAKEOVERS)]
        at_s = chance.uniform(10, 24)
        entries = [
            (kind, how, settings, round(at_s + later_s, 2))
            for kind, how, settings, later_s in troubles
        ]
        name = f"takeover-{number:02d}"
        yield name, day(name, chance.randrange(10**9), entries)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("set", choices=["single", "mixed", "silent", "takeover"])
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--days", type=int, default=40)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    if arguments.set == "single":
        days = single_days()
    elif arguments.set == "silent":
        days = silent_days(arguments.seed)
    elif arguments.set == "takeover":
        days = takeover_days(arguments.days, arguments.seed)
    else:
        days = mixed_days(arguments.days, arguments.seed)
    arguments.directory.mkdir(parents=True, exist_ok=True)
    for name, text in days:
        (arguments.directory / f"{name}.toml").write_text(text)


if __name__ == "__main__":
    main()
