Feature: Removal of jobs that ended long ago
  Ended jobs are kept for the retention time and then removed with all their objects.

  Scenario: A job past the retention time
    Given a job that ended 40 days ago, one that ended 2 days ago, and one that runs, with 3 results each
    When the shard is swept with a retention of 30 days
    Then only the first job's objects are gone

  Scenario: A sweep that is broken off
    The object API goes down in the middle. The job's status is removed last, so the next sweep finds the rest.

    Given a job that ended 40 days ago, one that ended 2 days ago, and one that runs, with 3 results each
    When the object API goes down after 2 removals of a sweep
    And the shard is swept with a retention of 30 days
    Then only the first job's objects are gone
