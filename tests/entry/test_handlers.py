from persimmonspur.entry.handlers import PathHandler
from persimmonspur.entry.server import HttpRequest, ServerResponse


def ask(surface, target):
    answers = []
    surface.handle(HttpRequest("GET", target, [], b"", 0.0), answers.append)
    return answers[0]


def test_page_answers_its_path_whatever_the_query():
    # Guards against readiness that is denied because the question carries a query.
    surface = PathHandler("/-/ready", lambda: ServerResponse(200, [], b"yes"))
    assert ask(surface, b"/-/ready").body == b"yes"
    assert ask(surface, b"/-/ready?x=1").body == b"yes"
    assert ask(surface, b"/other").status == 404
