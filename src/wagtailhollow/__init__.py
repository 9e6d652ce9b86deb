"""Load balancer for expert-parallel model groups.

The public API consists of the version and the error kinds in
:mod:`wagtailhollow.errors`. Everything under ``internal`` may change without
notice.
"""

__version__ = '0.1.0'

__all__ = ['__version__']
