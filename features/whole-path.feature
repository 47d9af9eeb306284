Feature: The whole path of a request

  Scenario: A caller's request reaches the owner of its key through any node
    Given a cell of 3 VMs with the service "sklad" divided by key
    When a caller asks each node for the keys "lot-1, lot-2, lot-3"
    Then each answer is the caller's own
    And each key was answered by one backend server
