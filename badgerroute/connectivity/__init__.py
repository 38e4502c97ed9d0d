"""What a controller can reach, and what it may do when that is only a part.

Pure: no I/O and no clock of its own. Imports the scheduling models, the settings and the mesh messages.
"""
