"""Draws a run: latency over time with what happened, its distribution,
coverage, and load per endpoint. Writes PNG files and one HTML page."""

import collections
import html
import json
import pathlib

import matplotlib
matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402 (the backend comes first)

WIDTH, HEIGHT, DPI = 11, 3.6, 100


def _rows(path):
    if not path.exists():
        return []
    with open(path) as lines:
        return [json.loads(line) for line in lines]


def _figure(title, x_label, y_label):
    figure, axes = plt.subplots(figsize=(WIDTH, HEIGHT), dpi=DPI)
    axes.set_title(title, loc="left", fontsize=11)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.grid(alpha=0.3)
    return figure, axes


def _save(figure, path):
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def _mark_happenings(axes, happenings, warmup_s):
    for one in happenings:
        if one.label:
            at_s = one.at_s + warmup_s
            axes.axvline(at_s, color="tab:red", linestyle="--", linewidth=0.8)
            axes.text(at_s, axes.get_ylim()[1], " " + one.label, rotation=90,
                      va="top", ha="left", fontsize=7, color="tab:red")


def draw_latency(rows, happenings, warmup_s, path):
    figure, axes = _figure("Latency of each query", "time, s", "latency, ms")
    for end, color in (("answered", "tab:blue"), ("refused", "tab:orange")):
        chosen = [row for row in rows if row["end"] == end]
        axes.scatter([row["at_s"] for row in chosen],
                     [row["latency_ms"] for row in chosen], s=4, color=color,
                     label=end)
    failed = [row for row in rows if row["end"] not in ("answered", "refused")]
    # A query that could not even be sent has no latency of its own.
    axes.scatter([row["at_s"] for row in failed], [1] * len(failed), s=16, marker="x",
                 color="black", label="failed")
    axes.set_yscale("log")
    axes.axvspan(0, warmup_s, color="0.93", zorder=0)
    axes.legend(fontsize=8, loc="upper right")
    _mark_happenings(axes, happenings, warmup_s)
    _save(figure, path)


def draw_distribution(rows_by_run, warmup_s, path):
    figure, axes = _figure("Distribution of latency, answered queries",
                           "latency, ms", "share that took longer")
    for name, rows in rows_by_run.items():
        times = sorted(row["latency_ms"] for row in rows
                       if row["end"] == "answered"
                       and row["at_s"] >= warmup_s)
        shares = [1 - index / len(times) for index in range(len(times))]
        axes.plot(times, shares, label=name)
    axes.set_yscale("log")
    axes.legend(fontsize=8)
    _save(figure, path)


def draw_coverage(rows, happenings, warmup_s, path):
    figure, axes = _figure("Coverage of each answer", "time, s",
                           "shards answered, share")
    answered = [row for row in rows if row["end"] == "answered"]
    axes.scatter([row["at_s"] for row in answered],
                 [row["answered"] / max(1, row["total"]) for row in answered],
                 s=4)
    axes.set_ylim(-0.02, 1.05)
    _mark_happenings(axes, happenings, warmup_s)
    _save(figure, path)


def draw_endpoint_load(records, path):
    begun = collections.Counter(record["endpoint"] for record in records
                                if record["event"] == "run_begin")
    zones = {record["endpoint"]: record["zone"] for record in records}
    names = sorted(begun)
    figure, axes = _figure("Requests run by each endpoint", "endpoint",
                           "requests")
    for zone in sorted(set(zones.values())):
        places = [index for index, name in enumerate(names)
                  if zones[name] == zone]
        axes.bar(places, [begun[names[index]] for index in places],
                 label=zone)
    axes.legend(fontsize=8)
    _save(figure, path)


def write_report(directory, title, runs, warmup_s, summary):
    """`runs` maps a name to (folder, happenings); returns the page's path."""
    directory = pathlib.Path(directory)
    rows_by_run = {name: _rows(folder / "queries.jsonl")
                   for name, (folder, _) in runs.items()}
    draw_distribution(rows_by_run, warmup_s, directory / "distribution.png")
    pictures = ["distribution.png"]
    for name, (folder, happenings) in runs.items():
        draw_latency(rows_by_run[name], happenings, warmup_s,
                     directory / f"latency-{name}.png")
        draw_coverage(rows_by_run[name], happenings, warmup_s,
                      directory / f"coverage-{name}.png")
        draw_endpoint_load(_rows(folder / "endpoint_records.jsonl"),
                           directory / f"endpoints-{name}.png")
        pictures += [f"latency-{name}.png", f"coverage-{name}.png",
                     f"endpoints-{name}.png"]
    images = "\n".join(f'<h2>{html.escape(name[:-4])}</h2><img src="{name}">'
                       for name in pictures)
    page = directory / "report.html"
    page.write_text(
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}"
        "</title><style>body{font-family:sans-serif;max-width:1150px;"
        "margin:2em auto}img{max-width:100%}</style>"
        f"<h1>{html.escape(title)}</h1><pre>"
        f"{html.escape(json.dumps(summary, indent=1))}</pre>{images}")
    return page
