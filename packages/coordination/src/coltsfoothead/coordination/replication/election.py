"""Leader election: pre-vote, vote and election timeout."""

from coltsfoothead.coordination.replication import leading, messages
from coltsfoothead.coordination.replication import state as state_module
from coltsfoothead.coordination.replication.state import Role, State

__all__ = [
    "on_pre_vote_request",
    "on_pre_vote_response",
    "on_timeout_now",
    "on_vote_request",
    "on_vote_response",
    "ignores_candidates",
    "tick",
]


def tick(state: State, now: float) -> None:
    """Starts a pre-vote if no leader has contacted this voter within its election timeout.

    A single voter starts an election at once.
    """
    if not state.is_voter:
        return
    if state.voters == {state.identity.replica}:
        _campaign(state, now, transfer=False)
    elif now >= state.election_deadline:
        _pre_campaign(state, now)


def ignores_candidates(state: State, now: float) -> bool:
    """Returns whether candidates are ignored because a leader is live (leader stickiness)."""
    if state.role is Role.LEADER:
        return True
    silence = now - state.leader_contact
    return silence < state.settings.election_timeout_min_seconds


def _pre_campaign(state: State, now: float) -> None:
    state.role = Role.PRE_CANDIDATE
    state.leader = None
    state.votes_granted = {state.identity.replica}
    state.reset_election_deadline(now)
    request = messages.PreVoteRequest(state.term, state.log.last_index, state.log.last_term)
    _request_votes(state, request)


def _campaign(state: State, now: float, transfer: bool) -> None:
    state.role = Role.CANDIDATE
    state.leader = None
    state.term += 1
    state.voted_for = state.identity.replica
    state.hard_state_changed = True
    state.votes_granted = {state.identity.replica}
    state.reset_election_deadline(now)
    _request_votes(
        state,
        messages.VoteRequest(state.term, state.log.last_index, state.log.last_term, transfer),
    )
    _count_votes(state, now)


def _request_votes(state: State, request: messages.Message) -> None:
    for peer in sorted(state.voters - {state.identity.replica}):
        state_module.send(state, peer, request)


def _count_votes(state: State, now: float) -> None:
    voters = state.voters
    if 2 * len(state.votes_granted & voters) <= len(voters):
        return
    if state.role is Role.PRE_CANDIDATE:
        _campaign(state, now, transfer=False)
    elif state.role is Role.CANDIDATE:
        leading.become_leader(state, now)


def _is_up_to_date(state: State, last_index: int, last_term: int) -> bool:
    return (last_term, last_index) >= (state.log.last_term, state.log.last_index)


def on_pre_vote_request(
    state: State, sender: str, message: messages.PreVoteRequest, now: float
) -> None:
    """Responds whether a vote would be granted; changes no state."""
    granted = (
        message.term >= state.term
        and not ignores_candidates(state, now)
        and _is_up_to_date(state, message.last_index, message.last_term)
    )
    response = messages.PreVoteResponse(state.term, message.term + 1, granted)
    state_module.send(state, sender, response)


def on_pre_vote_response(
    state: State, sender: str, message: messages.PreVoteResponse, now: float
) -> None:
    """Counts a granted pre-vote; a majority of them starts the election."""
    if state.role is Role.PRE_CANDIDATE and message.granted and message.proposed == state.term + 1:
        state.votes_granted.add(sender)
        _count_votes(state, now)


def on_vote_request(state: State, sender: str, message: messages.VoteRequest, now: float) -> None:
    """Grants at most one vote per term, to a candidate whose log is at least as up to date."""
    granted = (
        message.term == state.term
        and (message.transfer or not ignores_candidates(state, now))
        and state.voted_for in ("", sender)
        and _is_up_to_date(state, message.last_index, message.last_term)
    )
    if granted:
        if state.voted_for != sender:
            state.voted_for = sender
            state.hard_state_changed = True
        state.role = Role.FOLLOWER
        state.reset_election_deadline(now)
    state_module.send(state, sender, messages.VoteResponse(state.term, granted))


def on_vote_response(state: State, sender: str, message: messages.VoteResponse, now: float) -> None:
    """Counts a granted vote; a majority of them makes this replica the leader."""
    if state.role is Role.CANDIDATE and message.granted and message.term == state.term:
        state.votes_granted.add(sender)
        _count_votes(state, now)


def on_timeout_now(state: State, sender: str, message: messages.TimeoutNow, now: float) -> None:
    """Starts an election at the request of the leader (leadership transfer)."""
    if message.term == state.term and sender == state.leader and state.is_voter:
        _campaign(state, now, transfer=True)
