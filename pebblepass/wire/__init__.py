"""What goes over the wire, as encoders and readers: RESP2, HTTP/1.1, addresses. Imports nothing of ours."""
