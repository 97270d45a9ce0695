"""Tests of platform/journal_report.py, run by CTest. They do not need the users' bench."""

import contextlib
import io
import json
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "platform"))
import journal_report  # noqa: E402  (needs the path inserted above)


def make_entry(score=0.8, gate=1.0, ok=True):
    """Returns a journal entry in the format of the bench, with the fields that the report reads."""
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
        """Runs the command and returns its exit code, standard output and standard error."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = journal_report.main([str(self.journal), str(self.output)])
        return code, out.getvalue(), err.getvalue()

    def test_mean_worth_excludes_quiet_day(self):
        """Guards against a mean that is raised by including quiet days."""
        score = journal_report.decode_entry(make_entry())
        self.assertAlmostEqual(score.mean_worth(journal_report.has_trouble), 0.8)

    def test_report_with_scores_writes_page_and_plot(self):
        """Guards against a page that links to missing plots, or does not show a failed gate."""
        self.write("1.json", json.dumps(make_entry()))
        self.write("2.json", json.dumps(make_entry(score=0.5, gate=0.0)))
        code, _, err = self.run_report()
        self.assertEqual((code, err), (0, ""))
        page = (self.output / "report.md").read_text()
        self.assertIn("| 01234567+ | 0.500 | failed | 0.800 | a/b |", page)
        self.assertGreater((self.output / "site-a.png").stat().st_size, 1000)

    def test_report_with_invalid_entry_reports_it_and_continues(self):
        """Guards against one invalid entry that prevents a report on all others."""
        self.write("1.json", json.dumps(make_entry()))
        self.write("2.json", "{")
        code, _, err = self.run_report()
        self.assertEqual(code, 0)
        self.assertIn("2.json: not a journal entry", err)

    def test_report_without_scores_fails(self):
        """Guards against success with an empty page if there is no finished score."""
        self.write("1.json", json.dumps(make_entry(ok=False)))
        code, _, err = self.run_report()
        self.assertEqual(code, 1)
        self.assertIn("no finished score", err)


if __name__ == "__main__":
    unittest.main()
