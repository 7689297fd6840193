Feature: A plain service's answer is whole only at its own end
  A service that is lost in the middle of its answer has answered nothing: agent and entry hold an answer until it is whole, and
  a caller gets it with a length. How the answer is framed must not decide that.

  Scenario: The connection of an answer ends
    # Guards against the beginning of an answer that callers get as a whole one with a length, since it had none of its own.
    Given a service whose answers a scenario writes
    Then the agent takes the service's answers for this:
      | the head says          | the body      | the connection is | taken for |
      | a length               | whole         | kept              | whole     |
      | a length               | its beginning | ended             | lost      |
      | a length               | its beginning | reset             | lost      |
      | pieces                 | whole         | kept              | whole     |
      | pieces                 | its beginning | ended             | lost      |
      | pieces                 | its beginning | reset             | lost      |
      | pieces, then a close   | whole         | ended             | whole     |
      | pieces, then a close   | its beginning | ended             | lost      |
      | pieces, then a close   | its beginning | reset             | lost      |
      | a length, then a close | its beginning | ended             | lost      |
      | a length, then a close | its beginning | reset             | lost      |
      | a length, after a hint | whole         | kept              | whole     |
      | a length, after a hint | its beginning | ended             | lost      |
      | nothing                | whole         | ended             | whole     |
      | nothing                | its beginning | reset             | lost      |
      | nothing                | its beginning | reset at once     | lost      |

  Scenario: A service sends an answer again behind the first
    # Guards against a call that gets the answer of the call before it on the same connection.
    Given a service whose answers a scenario writes
    When it sends each answer twice, and 20 calls are made one after the other
    Then each call has its own answer, or is lost
