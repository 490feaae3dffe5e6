"""Encoders and parsers of RESP2, HTTP/1.1 and addresses. Imports no other package of the router."""
