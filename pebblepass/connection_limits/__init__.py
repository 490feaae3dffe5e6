"""Who may stay when places for clients' connections run out."""
