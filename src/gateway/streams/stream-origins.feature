Feature: Where the origins of streams are kept
  The version at which a stream began is kept by a few peers, which the process that resumes the stream finds by
  ranking its own view of the fleet.

  Scenario Outline: The origins of streams are found in a fleet of 300 processes
    # Guards against origins that are kept in one place, or where a slightly different view does not find them.
    Given a fleet of 300 processes whose views lack <missing> % of the others
    When 1000 streams begin, their fronts and <lost> of the processes that keep each origin fail, besides <failed> % of all
    Then at least <found> % of the origins are found

    Examples:
      | missing | lost | failed | found |
      | 0       | 0    | 0      | 100   |
      | 0       | 1    | 0      | 100   |
      | 2       | 0    | 0      | 99    |
      | 2       | 1    | 0      | 95    |
      | 0       | 0    | 50     | 70    |
      | 0       | 2    | 0      | 0     |

  Scenario: The origins are spread over the fleet
    # Guards against a few processes that keep the origins of all streams.
    Given a fleet of 300 processes whose views lack 0 % of the others
    When 6000 streams begin, their fronts and 0 of the processes that keep each origin fail, besides 0 % of all
    Then no process keeps more than 3 times the mean
    And a stream takes at most 4 messages and 1000 bytes

  Scenario: A version that is derived from the stream's id changes during a rollout
    # Why origins are announced: while replicas are replaced, the version that an id leads to is not the one it led to.
    When one of 26 replicas is replaced by one of another version, the version of at least 1 % of the ids changes

  Scenario: An origin is replaced only by that of a later run
    # Guards against the version of a run that brought no event, whose announcement arrives late.
    Given the origin of run 2 of a stream at version "v2" is kept
    When the origin of run 1 at version "v1" arrives
    Then the stream's version is "v2"

  Scenario: Origins are removed once their streams can no longer be resumed
    # Guards against memory that grows with each stream.
    Given the origin of run 1 of a stream at version "v1" is kept
    When 11 s pass and another stream begins
    Then 1 origin is kept

  Scenario: The origin that a peer keeps is found without a read of the registrations
    # Guards against a call of the object API for each stream that is resumed at another front.
    Given a process whose peer keeps the origin of a stream at version "v1"
    When the stream is resumed at the process
    Then its version is found to be "v1"
    And the registrations were read 0 times

  Scenario: A stream that no peer knows costs one read of the registrations
    # Guards against a version that is inferred from registrations that were read before the question came up.
    Given a process whose peer keeps no origin
    When the stream is resumed at the process
    Then the registrations were read 1 time

  Scenario: A list of registrations after a gap begins a new history
    # Guards against a version that has come and gone unnoticed while the registrations could not be followed.
    Given a process that has followed the registrations of version "v1" for 20 s
    Then it knows that only "v1" has served for 10 s
    When the registrations are listed again without a gap
    Then it knows that only "v1" has served for 10 s
    When the registrations are listed again after a gap of 5 s
    Then it does not know which versions have served for 10 s

  Scenario: A history that was not confirmed lately is not current
    # Guards against a version being concluded by a process that is cut off.
    Given a process that has followed the registrations of version "v1" for 20 s
    When the registrations are not confirmed for 5 s
    Then it does not know which versions have served for 10 s
