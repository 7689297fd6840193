Feature: Digest of a request's content
  A caller that retries uses a new id each time. The crashes of replicas that ran a request are therefore recorded by its
  content.

  Scenario Outline: The digest distinguishes different content
    Given the content "POST boards.example /alert/1?lang=pt" with the body "prompt"
    Then its digest <outcome> that of "<other>" with the body "<body>"

    Examples:
      | outcome        | other                                  | body    |
      | equals         | POST boards.example /alert/1?lang=pt   | prompt  |
      | differs from   | PUT boards.example /alert/1?lang=pt    | prompt  |
      | differs from   | POST kiosks.example /alert/1?lang=pt   | prompt  |
      | differs from   | POST boards.example /alert/1?lang=en   | prompt  |
      | differs from   | POST boards.example /alert/1?lang=pt   | prompts |
      | differs from   | POST boards.example /alert/1?lang=ptpr | ompt    |
