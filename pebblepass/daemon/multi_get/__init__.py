"""Reads of many keys on sockets: the thin shell around `pebblepass.multi_get`.

Each key is a request of its own to the decision module, under the command's id and its number; its answer's
bytes, as a single read would have them, are its entry in the command's answer.

`entries` holds one key, `reading` one command, `batches` the keys of a command that travel on one connection,
and `reads` all commands of a router. The daemon imports this package only with the operator's `[many_keys]`.
"""
