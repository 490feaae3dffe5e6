"""The router process: gives network input to the decision module as events, and carries out its actions."""
