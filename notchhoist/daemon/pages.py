"""Page parameters of the state dump."""

MAX_PAGE_ENTRIES = 500
"""Most entries in a reply: about 100 KB."""

MAX_DIGITS = 9
SHOWN_CHARACTERS = 60


def read_page(query: str) -> tuple[int, int]:
    """Returns the offset and the limit of a query.

    Examples:
        >>> read_page("offset=20&limit=5"), read_page("")
        ((20, 5), (0, 500))

    Raises:
        ValueError: A parameter is unknown or not a whole number of at most
            ``MAX_DIGITS`` digits. The text names the parameter.
    """
    numbers = {"offset": 0, "limit": MAX_PAGE_ENTRIES}
    for item in query.split("&") if query else ():
        name, _, text = item.partition("=")
        decimal = text.isascii() and text.isdecimal()
        if name not in numbers or not decimal or len(text) > MAX_DIGITS:
            place, got = name[:SHOWN_CHARACTERS], text[:SHOWN_CHARACTERS]
            raise ValueError(f"{place}: expected a whole number, got {got!r}")
        numbers[name] = int(text)
    return numbers["offset"], min(numbers["limit"], MAX_PAGE_ENTRIES)
