from returns.contrib.pytest.plugin import ReturnsAsserts as ReturnsAsserts
