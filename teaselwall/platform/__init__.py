"""The users' platform: its names and messages, translated into the product's.

Nothing outside this folder knows how the platform spells anything.
"""
