"""Carries out maintenance of hosts in waves and sends orders to hosts."""
