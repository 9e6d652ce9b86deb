"""The operators' client and the service that answers it in each daemon."""
