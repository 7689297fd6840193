Feature: Reports on the service of a process
  After a loss of all processes, refusals for lack of knowledge, by a decision, and for lack of processor time look the
  same to callers. An operator has to tell them apart from the log alone.

  Scenario: A process that becomes ready logs what it knows
    # Guards against a start whose log does not tell what callers were refused for.
    Given a monitored process
    When it receives a configuration
    And it receives 2 replicas
    Then its readiness changes are logged as:
      | reason           | replicas |
      | no configuration | 0        |
      | no replica       | 0        |
      |                  | 2        |

  Scenario: A process that still waits for an address is not said to leave
    # Guards against a start that looks like a shutdown, and knowledge that was never read that looks fresh.
    Given a monitored process that still starts
    When its metrics are read
    Then its readiness changes are logged as:
      | reason   | replicas |
      | starting | 0        |
    And the gauges "gateway.configHeardMs, gateway.replicasHeardMs" are infinite

  Scenario: The first served call logs the stages of the start
    # Guards against a slow start of which nobody can tell the slow part.
    Given a monitored process
    When it receives a configuration
    And it receives 1 replica
    And 1 call ends as "answered"
    Then the stages "configMs, replicasMs, readyMs, servedMs" of its start are logged once

  Scenario: A second in which many calls are refused is logged with the reasons
    # Guards against refusals of which only the number is known.
    Given a monitored process
    When 10 calls end as "answered"
    And 6 calls end as "versionUnknown"
    Then an impaired second is logged with 6 calls as "versionUnknown"

  Scenario Outline: A second with <count> calls ended as "<reason>" beside 10 answered ones is not logged
    # Guards against lines that report the callers' own doing as impaired service.
    Given a monitored process
    When 10 calls end as "answered"
    And <count> calls end as "<reason>"
    Then no impaired second is logged

    Examples:
      | count | reason          |
      | 30    | limit           |
      | 30    | the caller left |
      | 2     | full            |
