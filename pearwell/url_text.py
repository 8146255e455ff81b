"""Text in URLs. Importing urllib.parse takes more modules than the role may load at its start."""

__all__ = ["quote"]

# Characters that need no quoting in a URL (RFC 3986, section 2.3).
_UNRESERVED = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"


def quote(text: str) -> str:
    """Returns a text as part of a URL, percent-encoded.

    Args:
        text: The text; a lone surrogate stands for the byte that was decoded to it, if any.
    """
    try:
        data = text.encode(errors="surrogateescape")
    except UnicodeEncodeError:
        data = text.encode(errors="surrogatepass")
    return "".join(chr(byte) if byte in _UNRESERVED else f"%{byte:02X}" for byte in data)
