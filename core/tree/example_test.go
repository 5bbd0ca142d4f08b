package tree_test

import (
	"fmt"

	"corianderwing"
	"corianderwing/core/tree"
)

// Fields that a route leaves unset are inherited from its service, its workspace,
// the root and the defaults, in this order.
func ExampleTree_Set() {
	rate, slow, once, prefix := corianderwing.TokensPerSecond(50), corianderwing.Millis(200), true, "/orders"
	t := tree.New()
	steps := []tree.Node{
		{Path: corianderwing.Path{Workspace: "reef"}, Settings: corianderwing.Settings{Rate: &rate}},
		{Path: corianderwing.Path{Workspace: "reef", Service: "order-desk"}, Settings: corianderwing.Settings{Slow: &slow}},
		{Path: corianderwing.Path{Workspace: "reef", Service: "order-desk", Route: "place"}, Settings: corianderwing.Settings{AtMostOnce: &once, Prefix: &prefix}},
	}
	for _, s := range steps {
		next, err := t.Set(s.Path, &s.Settings)
		if err != nil {
			fmt.Println(err)
			return
		}
		t = next
	}
	e, ok := t.Route("reef", "order-desk", "/orders/17")
	fmt.Println(ok, e.Path, e.Rate, e.Slow, e.AtMostOnce, e.Pool, e.Timeout)
	_, ok = t.Route("reef", "order-desk", "/ordersbook")
	fmt.Println(ok)
	// Output:
	// true reef/order-desk/place 50 200 true order-desk 2000
	// false
}

// The error lists all problems, each with the field and the allowed values.
func ExampleCheck() {
	rate, tries := corianderwing.TokensPerSecond(-1), 9
	err := tree.Check(corianderwing.Path{Workspace: "reef"}, &corianderwing.Settings{Rate: &rate, MaxAttempts: &tries})
	fmt.Println(err)
	// Output:
	// 604 badchange: node reef: rate is -1, allowed: greater than 0, at most 1e+09 requests per second; tries is 9, allowed: 1 to 5
}
