"""Multi-tenancy: authentication, routing, limits and admission of tenants' requests.

Every module here but `admission` is free of I/O and of a clock: times are passed in, and the effects of a
state change are returned or reported through a callback.
"""
