Feature: A non-idempotent request sent again under its idempotency key
  A gate that got no answer sends the same booking again, through another entry of the balancer's choice, at once or later.
  Before a keyed request runs, its key is claimed in the object API, with the agent that gets it. Whoever finds the claim asks
  that agent for the answer, or says that the outcome is unknown; the booking is never run a second time.

  Background:
    Given a relayed fleet with 2 replicas

  Scenario: Sent through both entries at the same moment
    When a keyed call of 400 ms is sent through both entries 6 times at once
    Then all are answered with 200 and the same body, and it ran 1 times

  Scenario: Sent again after the caller lost its answer
    When a keyed call is sent, and again through the other entry
    Then all are answered with 200 and the same body, and it ran 1 times

  Scenario: Sent again when the agent and its ledger are gone
    When a keyed call is sent, its end is recorded, all agents are restarted, and it is sent again
    Then all are answered with 200 and the same body, and it ran 1 times

  Scenario: Sent again while the outcome is unknown
    When a keyed call of 400 ms is sent, its agent is restarted during it, and it is sent again
    Then all are answered with 502 as "unknown", and it ran 1 times

  Scenario: The entry that ran it is lost before it answered
    When a keyed call of 400 ms is sent, its entry is lost during it, and it is sent again
    Then the last is answered with 200, and it ran 1 times

  Scenario: It moved to another replica before its entry was lost
    When a keyed call of 400 ms is held back on its way, runs at the other replica, its entry is lost, and it is sent again
    Then the last is answered with 200, and it ran 1 times

  Scenario: The answers to claims are lost
    When the object API loses 50 answers and a keyed call is sent, and again through the other entry
    Then all are answered with 200 and the same body, and it ran 1 times

  Scenario: The object API is down
    When a keyed call is sent while the object API is down
    Then all are answered with 503 as "not-run", and it ran 0 times
    And it is answered with 200 and runs once when the object API is back

  Scenario: The key was used with another request
    When a keyed call is sent, and again with another body
    Then the last is answered with 422, and it ran 1 times

  Scenario: What keyed calls cost at the object API
    When 10 calls with a key each are sent and their ends are recorded
    Then the claims took 10 creates, 10 updates and nothing else
