"""Multi-get commands on connections: the I/O around `pebblepass.multi_get`.

Each key is a request of its own to the decision module; its id consists of the command's id and the key's
number. Its entry in the command's reply is encoded as the reply to a single read.

`key_reply` and `key_attempt` handle one key, `multi_get` one command, `batch_exchange` the keys of a command
that are sent on one connection, and `registry` all commands of a router. `interfaces` has the protocols
between these modules, and `limits` reads the operator's section. The daemon imports this package only if the
operator's file has a `[many_keys]` section.
"""
