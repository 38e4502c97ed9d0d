"""Messages on the wire, one module for each counterpart: the only place where the names used on the wire appear.

Owns how every message is named, checked and encoded; `field(name=...)` gives a field's name on the wire where it is not
the one in the code. Holds no state and knows no keys. Imports no other package. Docstrings name the sections of
PROTOCOL-badgerroute.md.
"""
