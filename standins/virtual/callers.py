"""The callers of an entry under the virtual clock."""

__all__ = ('VirtualCallers',)


class VirtualCallers:
    """Collects responses by request id; a second response is an error."""

    def __init__(self):
        self.answer_by_id = {}

    def answer(self, request_id, answer):
        assert request_id not in self.answer_by_id, 'answered twice'
        self.answer_by_id[request_id] = answer
