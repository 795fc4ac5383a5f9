__all__ = ['ttypes', 'constants', 'PeerLink']
