Feature: Announcements of replicas that cannot be reached
  A replica loses its power. Each process would find that out by calls of its own, which wait in vain; the first one that
  does tells the others.

  Background:
    Given replica "r1" is known
    And unreachable replicas are announced between processes

  Scenario: A peer could not reach a replica
    # Guards against calls that each process sends to a replica that a peer knows to be gone.
    Given no connection can be established
    When a peer announces that it could not reach "r1"
    Then "r1" soon gets no requests
    And nothing is announced

  Scenario: The peer is cut off
    # Guards against a sound replica being excluded because one process does not reach it.
    When a peer announces that it could not reach "r1"
    Then "r1" still gets requests
    And 1 connection was tried

  Scenario: Many peers announce the same
    # Guards against a connection for each announcement.
    When 20 peers announce that they could not reach "r1"
    Then "r1" still gets requests
    And 1 connection was tried

  Scenario: The replica has started again since
    # Guards against the current start of a replica being held to be the earlier one.
    Given no connection can be established
    When a peer announces that it could not reach an earlier start of "r1"
    Then "r1" still gets requests
    And 0 connections were tried

  Scenario: A finding of this process
    # Guards against a single lost message that leaves the peers without the finding.
    When a connection to "r1" was not established in time
    Then "r1" is announced at once, and again after 250 ms
    And nothing is announced after 400 ms
