"""The dotterelstand command-line tool."""
