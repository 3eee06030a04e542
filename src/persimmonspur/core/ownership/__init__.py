"""Which instance may use which endpoint, and until when."""
