"""Which hosts exist, which are live, who does which duty."""
