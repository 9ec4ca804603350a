/** A deployment with one service, to start from. */
export const deploymentTemplate = `# All keys: docs/reference/deployment.md
name = "my-deployment"

[[regions]]
name = "east"
failureDomains = ["east-a", "east-b"]

[[regions]]
name = "west"
failureDomains = ["west-a", "west-b"]

[[services]]
name = "orders"
hosts = ["orders.example.org"]

[[services.kinds]]
name = "read-order"
method = "GET"
path = "/orders/:orderId"
idempotent = true
deadlineMilliseconds = 1000
weight = 2

# Runs at most once. Callers that repeat it send the same Idempotency-Key.
[[services.kinds]]
name = "create-order"
method = "POST"
path = "/orders"
idempotent = false
deadlineMilliseconds = 3000
weight = 5
`;

/** Settings of one node of that deployment. */
export const nodeTemplate = `# All keys: docs/reference/settings.md
[node]
id = "east-a-1"
region = "east"
failureDomain = "east-a"

[listeners]
callers = "127.0.0.1:8080"
announcements = "127.0.0.1:8081"
operators = "127.0.0.1:8082"
# Outside loopback, peers.sharedKey is needed.
peers = "127.0.0.1:8083"

[store]
url = "http://127.0.0.1:7000"
`;
