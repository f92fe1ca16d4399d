"""Tests of the authentication by API key."""

import unittest

import builders

from coltsfoothead.daemon.callers import access, refusals
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel import environment


class AccessTest(unittest.TestCase):
    def test_a_new_document_replaces_the_keys_of_the_old_one(self):
        """Guards against keys that stay valid after their removal from the document."""
        headers = (("authorization", f"Bearer {builders.API_KEY}"),)
        request = message.Request("GET", "/", headers, b"")
        old = environment.decode(builders.document())
        new = environment.decode('environment = "trial"\n')
        self.assertEqual(access.authenticate(request, old).name, "kiosk")
        with self.assertRaises(refusals.RefusedError) as caught:
            access.authenticate(request, new)
        self.assertIs(caught.exception.refusal.code, refusals.Code.INVALID_API_KEY)
