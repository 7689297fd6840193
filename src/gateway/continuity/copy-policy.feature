Feature: Copies of runs
  Replicas crash while streams run that may not be run again. An engine sends the memory of such a run to a second
  replica, where it can go on; the copy must be worth what it occupies there.

  Scenario Outline: Only runs that could not be supplied by another one are copied, and only where memory allows it
    Given an engine that <backups> copies, with memory for <memory> tokens of <bytes> bytes
    Then a run of <tokens> tokens on a <kind> route is <done>

    Examples:
      | backups | memory | bytes  | tokens  | kind      | done     |
      | keeps   | 88000  | 18432  | 700     | stream    | copied   |
      | keeps   | 88000  | 18432  | 700     | resumable | uncopied |
      | keeps   | 88000  | 18432  | 700     | safe      | uncopied |
      | keeps   | 88000  | 18432  | 700     | batch     | uncopied |
      | lacks   | 88000  | 18432  | 700     | stream    | uncopied |
      | keeps   | 9000   | 18432  | 700     | stream    | uncopied |
      | keeps   | 88000  | 327680 | 700     | stream    | uncopied |
      | keeps   | 88000  | 18432  | 1000000 | stream    | uncopied |
      | keeps   | 88000  | 18432  | unknown | stream    | copied   |

  Scenario Outline: The replica that keeps the copy
    # Guards against copies that cross failure domains, join the texts of two versions, or wait at a full replica.
    Given a run at a replica of "v1" in "a", and another one of <version> in <domain> with <calls> calls of 8 slots
    Then the other one <keeps> its copy

    Examples:
      | version | domain | calls | keeps |
      | "v1"    | "a"    | 0     | keeps |
      | "v1"    | "a"    | 8     | lacks |
      | "v2"    | "a"    | 0     | lacks |
      | "v1"    | "b"    | 0     | lacks |

  Scenario: Many runs at few replicas
    # Guards against all copies being kept by the same replica.
    Given 1000 runs at 10 replicas of one failure domain
    Then no replica keeps more than 150 of their copies
