Feature: Backend servers and processes that leave
  A VM is replaced. Whoever learns of it first stops its work: the agent by its signal, which refuses at once, or the platform's
  VM list. Callers notice nothing: what runs on the VM finishes there, what comes goes elsewhere. A planned stop of an entry
  still serves callers on connections that they have kept, and asks them to connect elsewhere.

  Scenario Outline: Only <witness> knows that a backend server is leaving
    Given a relayed fleet with 2 replicas
    When <witness> learns that the first of them is leaving and 40 calls are made
    Then all calls are answered, and at last none is sent to it any more

    Examples:
      | witness     |
      | the agent   |
      | the VM list |

  Scenario: A leaving agent takes nothing more from the first moment on
    Given a relayed fleet with 2 replicas
    When the agent learns that the first of them is leaving and 40 calls are made
    Then none of them ran there

  Scenario: Planned stop of an agent under load
    Given a relayed fleet with 2 replicas
    When 8 streams of 100 tokens run and the agent of one is stopped
    Then all streams are whole, and the engines were given each once

  Scenario: A connection goes silent while its agent stops
    The answer is whole before the entry notices that nothing comes any more; the agent must still be there when it asks.
    Given a relayed fleet with 1 replicas
    When a non-idempotent call of 400 ms is made, and its agent stops and its connections go silent during it
    Then the call is answered with 200 and ran 1 times

  Scenario: Planned stop of an entry under load
    Given a relayed fleet with 2 replicas
    And a caller with a kept connection
    When 8 streams of 100 tokens run and their entry is stopped
    Then all streams are whole, and the engines were given each once
    And a request on the kept connection is answered with 200 and asked to close it
    And the entry has stopped

  Scenario: Planned stop of an idle entry
    Given a relayed fleet with 1 replicas
    And 6 callers with a kept connection each
    When their entry is stopped, and they send their next requests one after another
    Then all of them are answered with 200 and asked to close their connections
    And the entry has stopped
