"""Fault injection for a fleet of real processes: schedules, the rig that plays them, checks of the histories.

The service imports nothing from here and has no fault switches of its own: the relays of `standins/relay.py`
break links, signals stop processes, and the rig changes state folders.
"""
