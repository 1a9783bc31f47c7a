"""Print measured figures, one row for each run."""

from typer import echo


def write_row(subject: str, **figures: float | str) -> None:
    """Print a row such as `cost size=8 messages=8.00`."""
    cells = [
        '='.join((name, _write_figure(figure)))
        for name, figure in figures.items()
    ]
    echo(' '.join((subject, *cells)))


def _write_figure(figure: float | str) -> str:
    if isinstance(figure, float):
        return format(figure, '.4g')
    return str(figure)
