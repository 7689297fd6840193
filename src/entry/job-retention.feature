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

  Scenario: A job sent anew under the key of one that was cleared away
    An operator deleted the old job alone, the client uses its key again. The old status, long past the retention time,
    stands until the new job's first. Were it taken at its word, the job that was just accepted would be removed.

    Given a job that ended 40 days ago, one that ended 2 days ago, and one that runs, with 3 results each
    And another job is sent under the key of the first, whose old status still stands
    When the shard is swept with a retention of 30 days
    Then the job that was sent is still there

  Scenario: A job sent anew while the earlier one's objects are being removed
    # Guards against a job that is accepted, and its results, removed as those of the earlier job with the same id.
    Given a job that ended 40 days ago, one that ended 2 days ago, and one that runs, with 3 results each
    When the shard is swept with a retention of 30 days, and the first job is deleted and sent again, with 2 results, after 2 removals
    Then the job that was sent is still there, with its 2 results
    And it is still there, with its 2 results, after another sweep
