"""Wire messages, one module per interface; the names used on the wire appear only here.

Defines the name, validation and encoding of every message. `field(name=...)` gives a field's name on the wire where it
differs from the name in the code. The package holds no state, uses no keys of the key-value store and imports no other
package of badgerroute. The platform's protocol specification, to whose sections the docstrings of the modules refer, is
PROTOCOL-badgerroute.md.
"""
