Feature: What is the same request under another id
  A caller that tries again has a new id each time. What a request has done to the replicas that ran it is remembered
  by what it asks for.

  Scenario Outline: The digest tells other content apart
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
