# Mitfahrgenossenschaft Alpenland, deployment linz-rides. The platform gives no listener beside the clients', so all
# that could be switched on here is off. `examples/operator.star` shows what there is.
