"""Tests of platform/journal_report.py. Run by CTest; needs no bench."""

import contextlib
import io
import json
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "platform"))
import journal_report  # noqa: E402  (the module is found by the path above)


def make_entry(score=0.8, gate=1.0, ok=True):
    """An entry as the bench writes it, with the fields that the report reads."""
    days = [
        {"name": "quiet-1", "slot": "quiet", "G": 0.95, "prices": [["machine-seconds", 900.0, 0.03]]},
        {"name": "trouble-1", "slot": "trouble", "G": 0.7, "prices": [["machine-seconds", 900.0, 0.01], ["calls", 5.0, 0.02]]},
        {"name": "scale-1", "slot": "scale", "G": 0.9, "prices": []},
    ]
    return {
        "cmd": "score", "ok": ok, "site": "site-a", "at": ["2026-01-01T00:00:00Z", ""], "head": "0123456789abcdef",
        "dirty": True, "why": "a|b", "score": score, "figures": {"gate": gate}, "days": days,
    }


class JournalReportTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.journal = Path(self.directory.name) / "journal"
        self.journal.mkdir()
        self.output = Path(self.directory.name) / "out"

    def write(self, name, text):
        (self.journal / name).write_text(text)

    def run_report(self):
        """Exit code, standard output and standard error of the command."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = journal_report.main([str(self.journal), str(self.output)])
        return code, out.getvalue(), err.getvalue()

    def test_mean_worth_with_quiet_day_leaves_it_out(self):
        """Guards against a mean that quiet days lift."""
        score = journal_report.decode_entry(make_entry())
        self.assertAlmostEqual(score.mean_worth(journal_report.is_troubled), 0.8)

    def test_report_with_scores_writes_page_and_plot(self):
        """Guards against a page that names plots which are missing, or hides a failed gate."""
        self.write("1.json", json.dumps(make_entry()))
        self.write("2.json", json.dumps(make_entry(score=0.5, gate=0.0)))
        code, _, err = self.run_report()
        self.assertEqual((code, err), (0, ""))
        page = (self.output / "report.md").read_text()
        self.assertIn("| 01234567+ | 0.500 | failed | 0.800 | a/b |", page)
        self.assertGreater((self.output / "site-a.png").stat().st_size, 1000)

    def test_report_with_unreadable_entry_names_it_and_goes_on(self):
        """Guards against one broken entry that hides all others."""
        self.write("1.json", json.dumps(make_entry()))
        self.write("2.json", "{")
        code, _, err = self.run_report()
        self.assertEqual(code, 0)
        self.assertIn("2.json: not a journal entry", err)

    def test_report_without_scores_fails(self):
        """Guards against an empty page that looks like a result."""
        self.write("1.json", json.dumps(make_entry(ok=False)))
        code, _, err = self.run_report()
        self.assertEqual(code, 1)
        self.assertIn("no finished score", err)


if __name__ == "__main__":
    unittest.main()
