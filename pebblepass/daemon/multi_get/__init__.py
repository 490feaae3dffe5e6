"""Multi-get on sockets: the thin shell around `pebblepass.multi_get`.

Each key is a request of its own to the decision module, under the command's id and its number; the bytes that
answer a single read are its entry in the command's reply.

`key_reply` and `key_attempt` hold one key, `multi_get` one command, `batch_exchange` the keys of a command
that travel on one connection, and `registry` all commands of a router; `interfaces` says what they require of
each other, and `limits` maps the operator's section. The daemon imports this package only with the operator's
`[many_keys]`.
"""
