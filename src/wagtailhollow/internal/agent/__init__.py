"""The agent daemon, through which all calls reach its target."""
